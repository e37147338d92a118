// Package admit shares the connections of a target among customers by weight and limits each customer's request rate.
package admit
