package balancer

import "kingcupvalve.example/kingcupvalve/standin/seeder"

// Fixed seeds make every run check the same cases.
func init() { seeder.SetSeed(20260302) }
