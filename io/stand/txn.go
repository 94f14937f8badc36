package stand

import (
	"bytes"
	"cmp"

	"trefoilthread/io/etcdpb"
)

// txn applies a transaction and reports whether it changed a key.
func (s *keyspace) txn(r *etcdpb.TxnRequest) (resp *etcdpb.TxnResponse, wrote bool, err error) {
	for _, ops := range [][]*etcdpb.RequestOp{r.Success, r.Failure} {
		if err := checkOps(ops); err != nil {
			return nil, false, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := true
	for _, c := range r.Compare {
		if len(c.Key) == 0 {
			return nil, false, errNoKey()
		}
		ok = ok && s.holds(c)
	}
	ops := r.Success
	if !ok {
		ops = r.Failure
	}
	resp = &etcdpb.TxnResponse{Succeeded: ok}
	rev := s.rev + 1
	for _, op := range ops {
		one, changed, err := s.apply(rev, op)
		if err != nil {
			return nil, false, err
		}
		wrote = wrote || changed
		resp.Responses = append(resp.Responses, one)
	}
	if wrote {
		s.commit(rev)
	}
	resp.Header = s.header()
	return resp, wrote, nil
}

// checkOps refuses what the stand-in does not serve before anything changes:
// a branch has any number of ranges, and one put or delete as its last step.
func checkOps(ops []*etcdpb.RequestOp) error {
	for i, op := range ops {
		switch o := op.Request.(type) {
		case *etcdpb.RequestOp_RequestRange:
			if len(o.RequestRange.Key) == 0 {
				return errNoKey()
			}
			continue
		case *etcdpb.RequestOp_RequestPut:
			if len(o.RequestPut.Key) == 0 {
				return errNoKey()
			}
			if len(o.RequestPut.Value) > maxValue {
				return errTooLarge()
			}
		case *etcdpb.RequestOp_RequestDeleteRange:
			if len(o.RequestDeleteRange.Key) == 0 {
				return errNoKey()
			}
		default:
			return errUnsupported("nested transactions")
		}
		if i != len(ops)-1 {
			return errUnsupported("transactions with steps after a write")
		}
	}
	return nil
}

// apply runs one step at revision rev. The lock must be held.
func (s *keyspace) apply(rev int64, op *etcdpb.RequestOp) (*etcdpb.ResponseOp, bool, error) {
	switch o := op.Request.(type) {
	case *etcdpb.RequestOp_RequestPut:
		put := o.RequestPut
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			return nil, false, errLeaseNotFound()
		}
		out := &etcdpb.PutResponse{}
		if prev := s.put(rev, put); put.PrevKv {
			out.PrevKv = prev
		}
		return &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponsePut{ResponsePut: out}}, true, nil
	case *etcdpb.RequestOp_RequestDeleteRange:
		del := o.RequestDeleteRange
		found := s.find(del.Key, del.RangeEnd)
		out := &etcdpb.DeleteRangeResponse{Deleted: int64(len(found))}
		for _, kv := range found {
			s.remove(rev, kv)
			if del.PrevKv {
				out.PrevKvs = append(out.PrevKvs, kv)
			}
		}
		return &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: out}}, len(found) > 0, nil
	}
	r := op.GetRequestRange()
	kvs := s.find(r.Key, r.RangeEnd)
	out := &etcdpb.RangeResponse{Count: int64(len(kvs)), Kvs: kvs}
	if r.Limit > 0 && int64(len(kvs)) > r.Limit {
		out.Kvs, out.More = kvs[:r.Limit], true
	}
	return &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponseRange{ResponseRange: out}}, false, nil
}

// holds evaluates a compare. A key that does not exist compares with zero
// revisions, and never with a value. The lock must be held.
func (s *keyspace) holds(c *etcdpb.Compare) bool {
	kv := s.keys[string(c.Key)]
	if kv == nil {
		if c.Target == etcdpb.Compare_VALUE {
			return false
		}
		kv = &etcdpb.KeyValue{}
	}
	var order int
	switch c.Target {
	case etcdpb.Compare_VERSION:
		order = cmp.Compare(kv.Version, c.GetVersion())
	case etcdpb.Compare_CREATE:
		order = cmp.Compare(kv.CreateRevision, c.GetCreateRevision())
	case etcdpb.Compare_MOD:
		order = cmp.Compare(kv.ModRevision, c.GetModRevision())
	case etcdpb.Compare_LEASE:
		order = cmp.Compare(kv.Lease, c.GetLease())
	case etcdpb.Compare_VALUE:
		order = bytes.Compare(kv.Value, c.GetValue())
	}
	switch c.Result {
	case etcdpb.Compare_EQUAL:
		return order == 0
	case etcdpb.Compare_NOT_EQUAL:
		return order != 0
	case etcdpb.Compare_GREATER:
		return order > 0
	}
	return order < 0
}
