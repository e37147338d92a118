package pgsrv_test

import "testing"

// BenchmarkConnect opens a caller's connection up to the first ReadyForQuery and closes it.
func BenchmarkConnect(b *testing.B) {
	bench := newHarness(b)
	b.ReportAllocs()
	for b.Loop() {
		conn := bench.dial()
		startUp(b, conn)
		if err := conn.Close(); err != nil {
			b.Fatal(err)
		}
	}
}
