// Package plots turns results of load runs into a Markdown page with plots.
package plots
