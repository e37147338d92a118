// Package plots writes the results of load runs as a Markdown page with plots.
package plots
