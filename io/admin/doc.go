// Package admin carries out what operators ask: changes of contracts, and questions to every instance.
package admin
