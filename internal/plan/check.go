package plan

import (
	"fmt"

	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Check validates a section: first the values of its fields, then the rules
// that involve several fields, the sections of other teams or the capacity of
// the workers. An error of KindInvalid wraps document.Faults with every fault
// found.
func Check(s Section, others Document, capacity Capacity) error {
	var faults document.Faults
	document.Check(newWireSection(s), &faults)
	checkRules(s, others, capacity, &faults)
	return invalidError("check", faults)
}

func checkRules(s Section, others Document, capacity Capacity, faults *document.Faults) {
	checkQuota(s, others, capacity, faults)
	checkParts(s.Quota, faults)
	services := checkServices(s, others, faults)
	jobs := checkJobs(s, capacity, faults)
	checkObjectives(s, services, jobs, faults)
}

func checkQuota(s Section, others Document, capacity Capacity, faults *document.Faults) {
	guaranteedToOthers := job.Size{}
	for team, other := range others {
		if team != s.Team {
			guaranteedToOthers = guaranteedToOthers.Add(other.Quota.Guaranteed)
		}
	}
	available := capacity.Total.Sub(guaranteedToOthers).Max(job.Size{})
	guaranteed, limit, availableAmounts := resourceAmounts(s.Quota.Guaranteed), resourceAmounts(s.Quota.Limit), resourceAmounts(available)
	for i, amount := range guaranteed {
		field := "Quota.Guaranteed." + amount.name
		if amount.value > limit[i].value {
			faults.Add("Quota.Limit."+amount.name, limit[i].value, fmt.Sprintf("at least the guaranteed %d", amount.value))
		}
		if !capacity.Total.IsZero() && amount.value > availableAmounts[i].value {
			faults.Add(field, amount.value, fmt.Sprintf("at most %d, which the other teams leave", availableAmounts[i].value))
		}
	}
}

// checkParts reports data centres that occur more than once.
func checkParts(q Quota, faults *document.Faults) {
	seen := make(map[string]bool, len(q.DataCentres))
	for i, p := range q.DataCentres {
		if seen[p.DataCentre] {
			faults.Add(fmt.Sprintf("Quota.DataCentres[%d].DataCentre", i), p.DataCentre, "each data centre once")
		}
		seen[p.DataCentre] = true
	}
}

// resourceAmount is the amount of one resource, with the name of its field in
// a size.
type resourceAmount struct {
	name  string
	value int64
}

func resourceAmounts(s job.Size) [3]resourceAmount {
	return [3]resourceAmount{
		{"MilliCores", s.MilliCores},
		{"MemoryMB", s.MemoryMB},
		{"Accelerators", s.Accelerators},
	}
}

// checkServices checks that no service occurs twice or belongs to another
// team, and returns the names of the services.
func checkServices(s Section, others Document, faults *document.Faults) map[string]bool {
	owners := make(map[string]string)
	for team, other := range others {
		if team == s.Team {
			continue
		}
		for i := range other.Services {
			owners[other.Services[i].Name] = team
		}
	}
	names := make(map[string]bool, len(s.Services))
	for i := range s.Services {
		name := s.Services[i].Name
		field := fmt.Sprintf("Services[%d].Name", i)
		if names[name] {
			faults.Add(field, name, "a name that no other service has")
		}
		if owner, taken := owners[name]; taken {
			faults.Add(field, name, "a service that no other team has; this one belongs to "+owner)
		}
		names[name] = true
	}
	return names
}

// checkJobs checks the job policies and returns their names.
func checkJobs(s Section, capacity Capacity, faults *document.Faults) map[string]bool {
	names := make(map[string]bool, len(s.Jobs))
	for i := range s.Jobs {
		policy := &s.Jobs[i]
		path := fmt.Sprintf("Jobs[%d]", i)
		if names[policy.Name] {
			faults.Add(path+".Name", policy.Name, "a name that no other job has")
		}
		names[policy.Name] = true
		if policy.Preemptible && policy.Kind == job.KindService {
			faults.Add(path+".Preemptible", true, "false for a Service, which is kept running")
		}
		largest, limit := resourceAmounts(capacity.LargestWorker), resourceAmounts(s.Quota.Limit)
		for j, amount := range resourceAmounts(policy.Size) {
			field := path + ".Size." + amount.name
			if !capacity.LargestWorker.IsZero() && amount.value > largest[j].value {
				faults.Add(field, amount.value, fmt.Sprintf("at most %d, the largest worker", largest[j].value))
			}
			if amount.value > limit[j].value {
				faults.Add(field, amount.value, fmt.Sprintf("at most %d, the limit of the team's quota", limit[j].value))
			}
		}
	}
	return names
}

func checkObjectives(s Section, services, jobs map[string]bool, faults *document.Faults) {
	names := make(map[string]bool, len(s.Objectives))
	for i := range s.Objectives {
		o := &s.Objectives[i]
		path := fmt.Sprintf("Objectives[%d]", i)
		if names[o.Name] {
			faults.Add(path+".Name", o.Name, "a name that no other objective has")
		}
		names[o.Name] = true
		if o.Kind == ObjectiveStartWait && !jobs[o.Of] {
			faults.Add(path+".Of", o.Of, "the name of a job of this section")
		}
		if o.Kind != ObjectiveStartWait && !services[o.Of] {
			faults.Add(path+".Of", o.Of, "the name of a service of this section")
		}
		if (o.Kind == ObjectiveSuccess) != (o.Threshold == 0) {
			faults.Add(path+".Threshold", o.Threshold, "a duration for Latency and StartWait, and none for Success")
		}
	}
}
