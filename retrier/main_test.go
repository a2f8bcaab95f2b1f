package retrier_test

import "kingcupvalve.example/kingcupvalve/standin/seeder"

// Fixed seeds make every run check the same cases.
func init() { seeder.SetSeed(1) }
