package membership

import "time"

// reportedSizeTTL is how long the number of instances that a member knows is valid.
const reportedSizeTTL = 30 * time.Second

// ReportedSize is the largest number of instances that a member has reported lately.
type ReportedSize struct {
	count int
	at    time.Time
}

// Record records the number of instances that a member knows.
func (s *ReportedSize) Record(now time.Time, count int) {
	if count >= s.Latest(now) {
		s.count, s.at = count, now
	}
}

// Latest returns the largest number that has been reported lately; zero if none has.
func (s *ReportedSize) Latest(now time.Time) int {
	if now.Sub(s.at) > reportedSizeTTL {
		return 0
	}
	return s.count
}
