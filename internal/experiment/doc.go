// Package experiment plays a load against the decisions of a cell in virtual time.
//
// There is no network and no store: workers, the advice service and the commits of
// records are modelled by how long they take. The same load, seed and policy give
// the same result, so that a change of a decision can be measured, and compared
// with plain ways of scheduling.
package experiment
