// Package admit shares the connections of a target among customers by weight.
package admit
