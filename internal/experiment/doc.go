// Package experiment runs a discrete-event simulation of a load on a cell.
//
// There is no network and no store: workers, the advice service and the commits of
// records are modelled by how long they take. The same load, seed and policy give
// the same result, so that a change to a scheduling decision can be measured and
// compared with simpler policies.
package experiment
