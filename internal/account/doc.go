// Package account keeps the books of the client accounts of a cell: what each account
// has in use on all workers together, what its cap leaves room for, and by how much it
// is ahead of its rate.
//
// It does no input or output, and it knows neither runs nor workers: the caller says
// what begins and what ends, and at what time. Books belong to one owner of the cell. A
// new owner fills them from records and reports, and counts the rate afresh.
//
// Jobs without an account have a nil *Member, which has no limit, and costs nothing.
package account
