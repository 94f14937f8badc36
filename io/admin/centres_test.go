package admin_test

import (
	"fmt"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"trefoilthread/core/config"
	"trefoilthread/core/stage"
	"trefoilthread/core/types"
	"trefoilthread/io/admin"
)

// member is one start of a daemon.
type member struct {
	id          types.TargetID
	incarnation uint64
	current     *config.Current
	acked       []int64 // acknowledgements on their way
}

// centres are two data centres with their leaders. Documents, acknowledgements
// and reports arrive in any order, late or never.
type centres struct {
	members map[types.DataCentre][]*member
	leaders map[types.DataCentre]*stage.Members
	status  *stage.Status
	starts  uint64
}

var names = []types.DataCentre{"kl-sentral", "penang-north"}

func newCentres() *centres {
	c := &centres{
		members: map[types.DataCentre][]*member{}, leaders: map[types.DataCentre]*stage.Members{}, status: stage.NewStatus(),
	}
	for _, dc := range names {
		var live []stage.Member
		for i := range 2 {
			m := &member{id: types.TargetID(fmt.Sprint(dc, i)), current: config.NewCurrent()}
			c.members[dc] = append(c.members[dc], m)
			live = append(live, stage.NewMember(m.id, 0))
		}
		c.leaders[dc] = stage.NewMembers(0, live)
		c.status.SetMembers(dc, 1, 2, live[0].ID())
	}
	return c
}

// step lets messages arrive. A document is any that was written so far.
func (c *centres) step(t *rapid.T, docs []config.Document) {
	for _, dc := range names {
		for _, m := range c.members[dc] {
			switch rapid.IntRange(0, 6).Draw(t, "message") {
			case 0, 1:
				m.current.Offer(docs[len(docs)-1])
				m.acked = append(m.acked, m.current.Version())
			case 2:
				m.current.Offer(rapid.SampledFrom(docs).Draw(t, "document"))
				m.acked = append(m.acked, m.current.Version())
			case 3, 4:
				if len(m.acked) > 0 {
					i := rapid.IntRange(0, len(m.acked)-1).Draw(t, "acknowledgement")
					c.leaders[dc].Acknowledge(m.id, m.incarnation, m.acked[i])
				}
			case 5:
				c.status.SetInForce(dc, c.leaders[dc].InForce())
			case 6:
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					c.starts++
					m.incarnation, m.current, m.acked = c.starts, config.NewCurrent(), nil
					c.leaders[dc].Join(m.id, m.incarnation)
				}
			}
		}
	}
}

// behind returns a member that serves by an older version, or "".
func (c *centres) behind(version int64) types.TargetID {
	for _, dc := range names {
		joining := map[types.TargetID]bool{}
		for _, id := range c.leaders[dc].Joining() {
			joining[id] = true
		}
		for _, m := range c.members[dc] {
			if !joining[m.id] && m.current.Version() < version {
				return m.id
			}
		}
	}
	return ""
}

// connect lets a handler wait for these data centres. Each look at the status
// is a turn of the schedule; after some of them the clock runs out.
func (c *centres) connect(opt *admin.Options, turn func()) {
	clock := clockwork.NewFakeClock()
	closed := make(chan struct{})
	close(closed)
	looks := 0
	opt.Clock = clock
	opt.StatusChanged = func() <-chan struct{} {
		if looks++; looks%12 == 0 {
			clock.Advance(admin.AcceptTimeout)
			return nil
		}
		return closed
	}
	opt.Status = func() []stage.DataCentreStatus {
		turn()
		return c.status.DataCentres()
	}
}
