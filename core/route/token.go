package route

// Token identifies a started call for Finish. The zero value identifies none.
type Token struct {
	slot       uint32
	generation uint32
}
