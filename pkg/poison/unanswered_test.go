package poison

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a crash that goes unnoticed because one sign did not prove it, and
// against requests that are blamed for a failure of the network or for the crash of
// another process.
func TestUnansweredRequestsAreDecidedByEvidence(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	a, b := Attempt{Fingerprint: 1, RequestID: "a"}, Attempt{Fingerprint: 2, RequestID: "b"}
	none := time.Time{}
	for name, test := range map[string]struct {
		play func(u *Unanswered) []LostAttempt
		want []LostAttempt
	}{
		"dial refused, network works":                {func(u *Unanswered) []LostAttempt { return u.Refused(at(120), at(110)) }, []LostAttempt{{a, true}}},
		"dial refused, network may have failed":      {func(u *Unanswered) []LostAttempt { return u.Refused(at(120), at(90)) }, nil},
		"dial refused, nothing known of the network": {func(u *Unanswered) []LostAttempt { return u.Refused(at(120), none) }, nil},
		"dial refused again once the network has worked": {func(u *Unanswered) []LostAttempt {
			u.Refused(at(120), at(90))
			return u.Refused(at(300), at(200))
		}, []LostAttempt{{a, true}}},
		"dials time out, another process has the address": {func(u *Unanswered) []LostAttempt {
			u.Unreachable(at(110), none)
			return u.Ended(at(3000))
		}, []LostAttempt{{a, true}}},
		"dials time out, the entry lapses": {func(u *Unanswered) []LostAttempt {
			u.Unreachable(at(110), none)
			return u.Lapsed(at(3000))
		}, []LostAttempt{{a, true}}},
		"dials time out for long, network works": {func(u *Unanswered) []LostAttempt {
			u.Unreachable(at(110), at(120))
			assert.Equal(t, len(u.Unreachable(at(600), at(500))), 0)
			return u.Unreachable(at(1200), at(1100))
		}, []LostAttempt{{a, true}}},
		"dials time out for long, network may have failed": {func(u *Unanswered) []LostAttempt {
			u.Unreachable(at(110), none)
			return u.Unreachable(at(5000), at(105))
		}, nil},
		"the entry of a reachable replica is removed": {func(u *Unanswered) []LostAttempt { return u.Lapsed(at(3000)) }, nil},
		"the process answers a later request": {func(u *Unanswered) []LostAttempt {
			u.Answered(at(101))
			return u.Ended(at(3000))
		}, nil},
		"the process has answered an earlier request": {func(u *Unanswered) []LostAttempt {
			u.Answered(at(99))
			return u.Ended(at(3000))
		}, []LostAttempt{{a, true}}},
		"the next process answers under the same ID": {func(u *Unanswered) []LostAttempt {
			u.Unreachable(at(110), none)
			u.Answered(at(2000))
			return u.Ended(at(3000))
		}, []LostAttempt{{a, true}}},
		"the process ends long after": {func(u *Unanswered) []LostAttempt {
			u.Unreachable(at(110), none)
			return u.Ended(at(100).Add(unansweredRetention + time.Second))
		}, nil},
	} {
		var u Unanswered
		assert.Assert(t, !u.Add(at(100), at(50), a, true), name)
		assert.DeepEqual(t, test.play(&u), test.want)
	}

	var u Unanswered
	assert.Equal(t, len(u.Ended(at(1000))), 0)
	assert.Assert(t, u.Add(at(1500), at(900), a, true), "a request that was in flight when the process ended")
	assert.Assert(t, !u.Add(at(1500), at(1100), b, true), "a request that was sent later")
	u.Answered(at(1200))
	assert.Assert(t, !u.Add(at(1600), at(900), a, true), "the process runs after all")
	assert.Assert(t, !u.Expired(at(1700)))
	assert.Assert(t, u.Expired(at(1700).Add(unansweredRetention)))

	for i := range 2 * maxUnanswered {
		u.Add(at(1800), at(1700), Attempt{Fingerprint: 1, RequestID: strconv.Itoa(i)}, true)
		u.Add(at(1800), at(1700), Attempt{Fingerprint: 1, RequestID: strconv.Itoa(i)}, true)
	}
	u.Add(at(1800), at(1700), b, true)
	taken := u.Ended(at(1900))
	assert.Equal(t, len(taken), maxUnanswered)
	assert.Equal(t, taken[maxUnanswered-1], LostAttempt{b, true}, "the newest are kept")
}
