package resourcequota

import (
	"testing"

	"sedgevale/internal/testkit"
)

func TestMain(m *testing.M) { testkit.VerifyNoLeaks(m) }
