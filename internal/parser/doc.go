// Package parser reads the settings file of a process and the fleet document
// of the operators from YAML.
//
// Both parsers record the line number of every key, so that the validator can
// report the position of an error. Structural errors (unknown keys, values of
// the wrong type, duplicate keys) are collected as problems, so that one run
// reports all of them. Anchors, aliases, merge keys and tags are rejected: the
// documents are plain data, and each value must be found at its key.
//
// An error is returned only when there is no document to check: the file can't
// be read, is too large or too deeply nested, isn't valid YAML, or holds more
// than one YAML document.
//
// # Usage
//
//	settings, err := parser.ParseSettings("/etc/kingcupvalve/settings.yaml")
//	if err != nil {
//		return err
//	}
//	if problems := validator.ValidateSettings(settings); len(problems) > 0 {
//		os.Exit(validator.ExitInvalid)
//	}
//	ring, err := settings.KeyRing()
package parser
