package journaler

import "kingcupvalve.example/kingcupvalve/standin/seeder"

// init fixes the seed of rapid, so that every run checks the same cases.
func init() { seeder.SetSeed(20260301) }
