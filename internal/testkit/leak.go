package testkit

import (
	"testing"

	"go.uber.org/goleak"
)

// VerifyNoLeaks runs a package's tests and fails if they leave a goroutine behind. The two goroutines of the worker pool that
// gnet's packages make when they are initialized live as long as the process.
func VerifyNoLeaks(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}
