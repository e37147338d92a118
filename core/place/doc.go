// Package place decides which member of a database serves a statement, in which order statements wait and which are refused.
//
// It handles these conditions:
//   - More statements than slots: waiter.go orders the waiting statements, admit.go and forecast.go refuse those that cannot be
//     served in time, and load.go estimates whether late statements still find a slot.
//     returns.go says when refused callers are to come back.
//   - Replicas that lag, so that reads fall on the primary: lag.go and history.go estimate the lag, and choose.go keeps slots of
//     the primary free for statements that only the primary can serve.
//   - A member that fails part of its statements: health.go detects it as an outlier.
//   - A database without a primary: scheduler.go refuses statements that cannot wait for the next one.
package place
