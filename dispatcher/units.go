package dispatcher

import (
	"sedgevale/admission"
	"time"
)

// This file holds helper functions.

// hashOf returns the hash of a key by FNV-1a and a finalizer. It is 0 only for an empty key.
func hashOf(s string) uint64 {
	if s == "" {
		return 0
	}
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h) | 1
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// unlimited is the value of a limit that is not set.
var unlimited = admission.Unlimited

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
