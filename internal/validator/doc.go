// Package validator checks settings and fleet documents.
//
// Each problem names the file, line, key, rejected value and accepted values. A
// process that finds a problem in its settings exits with code ExitInvalid
// before it opens a socket.
//
// ValidateFleet depends only on the document, so that all processes agree on
// whether a revision is valid. ValidateFleetUpdate checks a document against its
// predecessor. Only the command-line tool uses it: a process that missed a
// revision would otherwise reach a different result than the others.
//
// # Usage
//
//	settings, err := parser.ParseSettings(path)
//	if err != nil {
//		return err
//	}
//	for _, p := range validator.ValidateSettings(settings) {
//		fmt.Fprintln(os.Stderr, p)
//	}
//
//	fleet, positions, err := parser.ParseFleet(path)
//	if err != nil {
//		return err
//	}
//	problems := validator.ValidateFleetDocument(fleet, positions)
package validator

import "kingcupvalve.example/kingcupvalve/internal/parser"

// ExitInvalid is the exit code of a process whose settings or fleet document
// has problems.
const ExitInvalid = 2

// Problem is an error in a settings file or fleet document.
type Problem = parser.Problem
