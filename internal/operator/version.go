package operator

import "runtime/debug"

// Version returns the version of the module that the program was built from.
func Version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
