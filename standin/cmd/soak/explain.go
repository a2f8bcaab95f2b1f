package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"kingcupvalve.example/kingcupvalve/internal/explainer"
	"kingcupvalve.example/kingcupvalve/standin/soaker"
)

// explainFailures writes a line for each failure with the conclusion drawn from
// the logs to failures.txt. It returns the number of failures with a known
// cause.
func explainFailures(failures []soaker.Failure, dir string) (int, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return 0, fmt.Errorf("list logs: %w", err)
	}
	file, err := os.Create(filepath.Join(dir, "failures.txt"))
	if err != nil {
		return 0, fmt.Errorf("write failures: %w", err)
	}
	defer file.Close()
	explained := 0
	for _, f := range failures {
		explanation, err := explain(f, paths)
		if err != nil {
			return 0, err
		}
		if explanation.HasCause() {
			explained++
		}
		if _, err := fmt.Fprintln(file, f.FailedAt.Format("15:04:05.000"), f.Caller, explanation.HasCause(), explanation.Conclusion()); err != nil {
			return 0, fmt.Errorf("write failures: %w", err)
		}
	}
	return explained, nil
}

func explain(f soaker.Failure, paths []string) (*explainer.Explanation, error) {
	var logs []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		defer file.Close()
		logs = append(logs, file)
	}
	return explainer.Explain(f.Caller.String(), f.FailedAt, logs)
}
