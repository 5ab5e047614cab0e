package driver

import (
	"testing"

	"sedgevale/internal/testkit"
)

// No test leaves a goroutine behind.
func TestMain(m *testing.M) { testkit.VerifyNoLeaks(m) }
