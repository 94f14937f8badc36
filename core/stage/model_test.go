package stage_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilthread/core/config"
	"trefoilthread/core/stage"
	"trefoilthread/core/types"
)

// daemon is one start of a daemon with the document it has in force.
type daemon struct {
	incarnation uint64
	current     *config.Current
	highest     int64
}

// centre is one data centre: its daemons, and what its leader knows.
type centre struct {
	name    types.DataCentre
	daemons map[types.TargetID]*daemon
	joined  map[types.TargetID]uint64
	// serving are the starts that a leader has counted once: they serve calls
	// until they leave, whatever a later leader knows.
	serving map[types.TargetID]uint64
	leader  *stage.Members
	inForce int64
}

// model is a deployment whose messages arrive late, twice, in any order or
// never. The member counts are the leaders' own: how long a summary takes to
// reach the operators is not part of the model.
type model struct {
	docs     []config.Document
	centres  []*centre
	status   *stage.Status
	queue    []func(t *rapid.T)
	revision int64
	starts   uint64
}

func (m *model) send(f func(t *rapid.T)) { m.queue = append(m.queue, f) }

func (m *model) commit(t *rapid.T) {
	last := m.docs[len(m.docs)-1]
	name := fmt.Sprintf("s%d", last.Version())
	svc := config.NewService(config.ServiceSpec{
		Name: types.ServiceName(name), DataCentres: []types.DataCentre{"kl-sentral"}, Slots: 1, Connections: 1,
	})
	doc, _, err := config.Apply(last, config.NewChange(config.ChangeSpec{Service: svc, RequestID: name, Operator: "op"}), time.Unix(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	m.docs = append(m.docs, doc)
}

func (m *model) start(c *centre, id types.TargetID) {
	m.starts++
	c.daemons[id] = &daemon{incarnation: m.starts, current: config.NewCurrent()}
}

// push sends any document so far to a daemon, which acknowledges what it then
// has in force.
func (m *model) push(c *centre, id types.TargetID, doc config.Document) {
	d, ok := c.daemons[id]
	if !ok {
		return
	}
	m.send(func(t *rapid.T) {
		d.current.Offer(doc)
		v := d.current.Version()
		if v < d.highest {
			t.Fatalf("%s went back from version %d to %d", id, d.highest, v)
		}
		d.highest = v
		m.send(func(*rapid.T) { c.leader.Acknowledge(id, d.incarnation, v) })
	})
}

func (m *model) check(t *rapid.T) {
	for _, c := range m.centres {
		m.revision++
		m.status.SetMembers(c.name, m.revision, c.leader.Len(), "")
		if c.leader.InForce() < c.inForce {
			t.Fatalf("%s went back from version %d to %d", c.name, c.inForce, c.leader.InForce())
		}
		c.inForce = c.leader.InForce()
		joining := c.leader.Joining()
		for id, inc := range c.joined {
			if !slices.Contains(joining, id) {
				c.serving[id] = inc
			}
		}
	}
	for v := int64(1); v < int64(len(m.docs)); v++ {
		if !m.status.Accepted(v) {
			break
		}
		for _, c := range m.centres {
			for id, d := range c.daemons {
				if c.serving[id] == d.incarnation && d.current.Version() < v {
					t.Fatalf("version %d is accepted, %s in %s has version %d in force", v, id, c.name, d.current.Version())
				}
			}
		}
	}
}

// Guards against "accepted" while a live member still works by an older
// document, and against daemons and data centres that go back.
func TestAcceptedMeansInForceEverywhere(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{docs: []config.Document{{}}, status: stage.NewStatus()}
		for _, name := range []types.DataCentre{"kl-sentral", "penang-north"} {
			m.centres = append(m.centres, &centre{
				name: name, leader: stage.NewMembers(0, nil),
				daemons: map[types.TargetID]*daemon{}, joined: map[types.TargetID]uint64{},
				serving: map[types.TargetID]uint64{},
			})
		}
		for _, c := range m.centres {
			for _, id := range []types.TargetID{"a", "b"} {
				m.start(c, id)
				c.leader.Join(id, c.daemons[id].incarnation)
				c.joined[id] = c.daemons[id].incarnation
			}
		}
		pick := func(t *rapid.T) (*centre, types.TargetID) {
			c := rapid.SampledFrom(m.centres).Draw(t, "dc")
			return c, types.TargetID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "daemon"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"commit": m.commit,
			"start":  func(t *rapid.T) { c, id := pick(t); m.start(c, id) },
			"join": func(t *rapid.T) {
				c, id := pick(t)
				if d, ok := c.daemons[id]; ok {
					c.leader.Join(id, d.incarnation)
					c.joined[id] = d.incarnation
				}
			},
			"leave": func(t *rapid.T) {
				c, id := pick(t)
				c.leader.Leave(id, c.joined[id])
				delete(c.joined, id)
				delete(c.daemons, id)
			},
			"push": func(t *rapid.T) {
				c, id := pick(t)
				m.push(c, id, rapid.SampledFrom(m.docs).Draw(t, "doc"))
			},
			"converge": func(t *rapid.T) {
				for _, c := range m.centres {
					for _, id := range []types.TargetID{"a", "b", "c"} {
						if rapid.IntRange(0, 3).Draw(t, "reached") > 0 {
							m.push(c, id, m.docs[len(m.docs)-1])
						}
					}
				}
				for round := range 2 {
					for ; len(m.queue) > 0; m.queue = m.queue[1:] {
						m.queue[0](t)
					}
					for _, c := range m.centres[:2*(1-round)] {
						v := c.leader.InForce()
						m.send(func(*rapid.T) { m.status.SetInForce(c.name, v) })
					}
				}
			},
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(0, 12).Draw(t, "messages") {
					if len(m.queue) == 0 {
						return
					}
					i := rapid.IntRange(0, len(m.queue)-1).Draw(t, "message")
					f := m.queue[i]
					if rapid.IntRange(0, 7).Draw(t, "twice") > 0 {
						m.queue = append(m.queue[:i], m.queue[i+1:]...)
					}
					f(t)
				}
			},
			"report": func(t *rapid.T) {
				c, _ := pick(t)
				v := c.leader.InForce()
				m.send(func(*rapid.T) { m.status.SetInForce(c.name, v) })
			},
			"take over": func(t *rapid.T) {
				c, _ := pick(t)
				var live []stage.Member
				joining := c.leader.Joining()
				for id, inc := range c.joined {
					if !slices.Contains(joining, id) {
						live = append(live, stage.NewMember(id, inc))
					} else {
						delete(c.joined, id)
					}
				}
				before := c.leader.InForce()
				c.leader = stage.NewMembers(before, live)
				if c.leader.InForce() < before {
					t.Fatalf("%s went back from version %d", c.name, before)
				}
			},
			"": func(t *rapid.T) {
				m.check(t)
				if m.status.Accepted(1) {
					accepted++
				}
			},
		})
	})
	if accepted == 0 {
		t.Fatal("no version was ever accepted, the property was not exercised")
	}
	t.Logf("accepted in %d states", accepted)
}
