// Package sizer estimates the processor time, memory and traffic that each role
// needs at the size that the system is designed for. It extrapolates them from
// operations that it measures on this machine.
//
// Measure runs each operation at four or more sizes and fits a line by least
// squares. BuildRows evaluates the formulas of the roles with these lines and
// compares the results with the budgets. The page docs/CAPACITY.md holds the slopes
// of one run and the rows computed from them; a test checks that the two agree.
//
// # Usage
//
//	slopes, err := sizer.Measure(ctx)
//	rows, err := sizer.BuildRows(sizer.NewDesignSize(), slopes)
//	sizer.WriteSlopes(os.Stdout, slopes)
//	fmt.Println(sizer.FormatRows(rows))
package sizer
