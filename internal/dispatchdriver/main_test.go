package dispatchdriver

import (
	"testing"

	"sedgevale/internal/testkit"
)

// TestMain fails if a test leaks a goroutine.
func TestMain(m *testing.M) { testkit.VerifyNoLeaks(m) }
