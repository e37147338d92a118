package plots

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// PageName is the file name of the Markdown page.
const PageName = "report.md"

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// Write writes the page and its plots into the directory.
func Write(directory string, runs []Run) error {
	if len(runs) == 0 {
		return errors.New("no results: name at least one file")
	}
	if err := checkNames(runs); err != nil {
		return err
	}
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return errors.Wrap(err, "creating the directory of the report")
	}
	if err := saveShares(filepath.Join(directory, sharesFile), runs); err != nil {
		return err
	}
	for _, run := range runs {
		if err := saveLatency(filepath.Join(directory, latencyFile(run)), run); err != nil {
			return err
		}
		if err := saveTimeline(filepath.Join(directory, timelineFile(run)), run); err != nil {
			return err
		}
	}
	err := os.WriteFile(filepath.Join(directory, PageName), []byte(markdown(runs)), fileMode)
	return errors.Wrap(err, "writing the page")
}

// checkNames returns an error when two runs have one name, and so the same files.
func checkNames(runs []Run) error {
	names := map[string]bool{}
	for _, run := range runs {
		if names[run.Name] {
			return errors.Errorf("two results have the name %q; rename one of the files", run.Name)
		}
		names[run.Name] = true
	}
	return nil
}
