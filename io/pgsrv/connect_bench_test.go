package pgsrv_test

import "testing"

// BenchmarkConnect measures opening a connection up to the first ReadyForQuery, and closing it.
func BenchmarkConnect(b *testing.B) {
	h := newHarness(b)
	b.ReportAllocs()
	for b.Loop() {
		conn := h.dial()
		startUp(b, conn)
		if err := conn.Close(); err != nil {
			b.Fatal(err)
		}
	}
}
