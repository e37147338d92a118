package plots

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"turmericpulley/io/load"
)

// Run is the result of one load run and its name on the page.
type Run struct {
	Name   string
	Result load.Result
}

// ReadRun reads a result that the load command wrote as JSON and names the run after the file.
func ReadRun(path string) (Run, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Run{}, errors.Wrap(err, "reading a result")
	}
	run := Run{Name: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))}
	err = json.Unmarshal(data, &run.Result)
	return run, errors.Wrapf(err, "%s is not a result of the load command; write one with --json", path)
}
