// Package admin serves operators' commands: it changes contracts and reads the state of every instance.
package admin
