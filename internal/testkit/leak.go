package testkit

import (
	"runtime"
	"strings"
	"testing"

	"go.uber.org/goleak"
)

// VerifyNoLeaks runs a package's tests and fails if they leak a goroutine. It ignores the two goroutines of the worker pool that
// gnet's packages create at initialization, which live as long as the process.
func VerifyNoLeaks(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}

// Goroutines returns the stacks of the goroutines that currently run one of the given functions or were started by one. Unlike
// goleak, it does not wait for them to end.
func Goroutines(functions ...string) (found []string) {
	buffer := make([]byte, 4<<20)
	buffer = buffer[:runtime.Stack(buffer, true)]
	for _, stack := range strings.Split(string(buffer), "\n\n") {
		for _, function := range functions {
			if strings.Contains(stack, function) {
				found = append(found, stack)
				break
			}
		}
	}
	return found
}
