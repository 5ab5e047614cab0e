package store_test

import (
	"testing"

	"sedgevale/internal/testkit"
)

// TestMain verifies that no test leaks a goroutine.
func TestMain(m *testing.M) { testkit.VerifyNoLeaks(m) }
