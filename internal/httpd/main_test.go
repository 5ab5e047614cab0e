package httpd

import (
	"testing"

	"sedgevale/internal/testkit"
)

// TestMain fails if a test leaves goroutines running.
func TestMain(m *testing.M) { testkit.VerifyNoLeaks(m) }
