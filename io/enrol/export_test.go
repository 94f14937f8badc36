package enrol

import "context"

// Write exposes write.
func (r *Registration) Write(ctx context.Context) error { return r.write(ctx) }

// Check exposes check.
func (c *Cleaner) Check(ctx context.Context) { c.check(ctx) }
