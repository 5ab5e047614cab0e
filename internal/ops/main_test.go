package ops

import (
	"testing"

	"sedgevale/internal/testkit"
)

// TestMain fails if a test leaves a goroutine running.
func TestMain(m *testing.M) { testkit.VerifyNoLeaks(m) }
