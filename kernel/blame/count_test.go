package blame

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"anvilcross/kernel/ident"
)

func newTestContents() *Parts {
	return NewParts(PartsConfig{IsWhole: func(d ident.PromptPart) bool { return strings.HasPrefix(string(d), "content") }, Retention: 2 * time.Minute, ProbeDelay: 12 * second, MinCrashes: 3, MinTiedCrashes: 4, MaxLateRetries: 3, MaxCrashes: 64, MaxPartsPerCrash: 64, MaxPartsTracked: 1000})
}

// crashTwo reports that a content has crashed two endpoints within milliseconds, and returns what
// the crashes quarantine. If retried is set, its request had come to the second one from the first.
func (p *Parts) crashTwo(after time.Duration, d ident.PromptPart, retried bool) []ident.PromptPart {
	at := partsStart.Add(after)
	for n := range 2 {
		c := PartCrash{Address: fmt.Sprint("address-", after, n), At: at.Add(time.Duration(n) * 5 * time.Millisecond), Parts: []ident.PromptPart{d}}
		if n > 0 && retried {
			c.Retried = c.Parts
		}
		p.AddCrash(c.At, c)
	}
	return p.Update(at.Add(second), at.Add(second))
}

// A content whose requests crash two endpoints each is quarantined by the sixth crash only.
func TestAttemptsOfOneRequestCountEach(t *testing.T) {
	t.Run("the second request brings the third crash", func(t *testing.T) {
		p := newTestContents()
		wantQuarantined(t, p.crashTwo(1*second, "content:a", true))
		wantQuarantined(t, p.crashTwo(5*second, "content:a", true), "content:a")
	})
	t.Run("endpoints that are lost at the same moment by a common cause", func(t *testing.T) {
		p := newTestContents()
		wantQuarantined(t, p.crashTwo(1*second, "content:a", false))
		wantQuarantined(t, p.crashTwo(5*second, "content:a", false))
	})
	t.Run("one moment proves nothing", func(t *testing.T) {
		p := newTestContents()
		for n := range 4 {
			at := partsStart.Add(time.Duration(n) * 50 * time.Millisecond)
			p.AddCrash(at, PartCrash{Address: fmt.Sprint(n), At: at, Parts: []ident.PromptPart{"content:a"}, Retried: []ident.PromptPart{"content:a"}})
		}
		wantQuarantined(t, p.Update(partsStart.Add(second), partsStart.Add(second)))
	})
	t.Run("other instances are told", func(t *testing.T) {
		p, other := newTestContents(), newTestContents()
		p.crashTwo(1*second, "content:a", true)
		p.crashTwo(5*second, "content:a", true)
		for _, c := range p.NewsSince(partsStart.Add(6*second), partsStart, newsLimits).Crashes {
			other.AddCrash(partsStart.Add(6*second), c)
		}
		wantQuarantined(t, other.Update(partsStart.Add(7*second), partsStart.Add(7*second)), "content:a")
	})
}

// Probes come on top of the requests that crashed endpoints before the quarantine.
func TestLateRetriesAreBounded(t *testing.T) {
	for early, want := range map[int]int{0: 3, 1: 2, 2: 1, 3: 0} {
		t.Run(fmt.Sprintf("%d before the quarantine", early), func(t *testing.T) {
			p := newTestContents()
			at := time.Duration(0)
			for n := range 3 + early {
				at = time.Duration(n) * 2 * second
				p.crashAt(at, "content:a")
			}
			probes := 0
			for ; at < 110*second; at += 2 * second {
				if p.TakeProbe(partsStart.Add(at), "content:a") {
					probes++
					p.crashAt(at, "content:a")
				}
			}
			if probes != want {
				t.Errorf("%d probes, want %d", probes, want)
			}
		})
	}
}
