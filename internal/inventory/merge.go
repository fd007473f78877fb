package inventory

import (
	"fmt"
	"slices"
)

// Statuses of executors.
const (
	statusReady    = "ready"
	statusDraining = "draining"
)

// row is one executor of an inventory.
type row struct {
	Name    string
	Address string
	Zone    string
	Kind    string
	Group   int
	Status  string
}

// sharedRow is a row of the shared inventory, with the serial number of the inventory in which an operator last set it.
type sharedRow struct {
	row
	changedIn uint64
}

// sharedList is the inventory that all nodes share. Each write increments its serial number.
type sharedList struct {
	serial  uint64
	stampMs int64 // for nodes of version 0.3.0, see storedInventory
	rows    []sharedRow
}

// listOf returns a list of rows that have no history.
func listOf(rows []row) sharedList {
	list := sharedList{rows: make([]sharedRow, 0, len(rows))}
	for _, r := range rows {
		list.rows = append(list.rows, sharedRow{row: r})
	}
	return list
}

// rowsOfList returns the rows of a list without their history.
func rowsOfList(list sharedList) []row {
	rows := make([]row, 0, len(list.rows))
	for _, r := range list.rows {
		rows = append(rows, r.row)
	}
	return rows
}

// fileChange is what an operator has changed in the file of one node.
type fileChange struct {
	previous []row  // contents whose changes the shared inventory includes
	current  []row  // contents now
	basedOn  uint64 // serial number of the shared inventory that the node had when the file changed
	mergedIn uint64 // serial number of the shared inventory with the previous change of this file, 0 if unknown
}

// conflict is a part of a fileChange that does not take effect.
type conflict struct {
	Name   string
	Reason string
}

func (c conflict) String() string { return fmt.Sprintf("%s: %s", c.Name, c.Reason) }

// merge applies a change of one node's file to the shared inventory. Only the rows and fields that differ between the
// previous and the current contents are changed; everything else remains as the other nodes have set it. If the file
// has not changed, merge returns the list with the same serial number.
//
// Two operators may change the same row without knowing of each other's change. The later write then wins, except that
// it neither ends a drain nor restores a removed executor of which its operator could not know.
func merge(list sharedList, change fileChange) (sharedList, []conflict) {
	m := &merger{
		before: list.rows,
		change: change,
		serial: list.serial + 1,
		rows:   slices.Clone(list.rows),
		index:  map[string]int{},
	}
	for i, r := range m.rows {
		m.index[r.Name] = i
	}
	removed := map[string]row{}
	for _, r := range change.previous {
		removed[r.Name] = r
	}
	for _, r := range change.current {
		previous, existed := removed[r.Name]
		delete(removed, r.Name)
		switch {
		case !existed:
			m.add(r)
		case previous != r:
			m.update(previous, r)
		}
	}
	m.remove(removed)
	m.revertDuplicateAddresses()
	if m.changed {
		list.serial, list.rows = m.serial, m.rows
	}
	return list, m.conflicts
}

// merger is the state of one merge.
type merger struct {
	before    []sharedRow
	change    fileChange
	serial    uint64 // of the result
	rows      []sharedRow
	index     map[string]int // positions in rows before removals, by name
	changed   bool
	conflicts []conflict
}

func (m *merger) set(i int, r row) {
	m.rows[i] = sharedRow{row: r, changedIn: m.serial}
	m.changed = true
}

func (m *merger) reject(name, format string, args ...any) {
	m.conflicts = append(m.conflicts, conflict{Name: name, Reason: fmt.Sprintf(format, args...)})
}

// add applies a row that the file did not have before. If the shared inventory has it already, its drain remains.
func (m *merger) add(r row) {
	i, exists := m.index[r.Name]
	if !exists {
		m.rows = append(m.rows, sharedRow{row: r, changedIn: m.serial})
		m.changed = true
		return
	}
	if m.rows[i].Status == statusDraining && r.Status != statusDraining {
		m.reject(r.Name, "an added row does not end the drain of an executor that is listed already")
		r.Status = statusDraining
	}
	m.set(i, r)
}

// update applies the fields that differ between two versions of a row.
func (m *merger) update(previous, current row) {
	i, exists := m.index[current.Name]
	if !exists {
		m.reject(current.Name, "changed here, but removed at another node")
		return
	}
	r := m.rows[i].row
	setIfChanged(&r.Address, previous.Address, current.Address)
	setIfChanged(&r.Zone, previous.Zone, current.Zone)
	setIfChanged(&r.Kind, previous.Kind, current.Kind)
	setIfChanged(&r.Group, previous.Group, current.Group)
	if m.endsUnknownDrain(i, previous, current) {
		m.reject(current.Name, "made ready here, but another node has set it to drain since")
		if r == m.rows[i].row {
			return
		}
	} else {
		setIfChanged(&r.Status, previous.Status, current.Status)
	}
	m.set(i, r)
}

// endsUnknownDrain reports whether a change would end a drain that was set after the inventory on which it is based.
func (m *merger) endsUnknownDrain(i int, previous, current row) bool {
	shared := m.rows[i]
	return previous.Status != current.Status && current.Status == statusReady &&
		shared.Status == statusDraining && shared.changedIn > m.change.basedOn && shared.changedIn != m.change.mergedIn
}

func setIfChanged[T comparable](field *T, previous, current T) {
	if previous != current {
		*field = current
	}
}

// remove removes the rows that are no longer in the file.
func (m *merger) remove(names map[string]row) {
	m.rows = slices.DeleteFunc(m.rows, func(r sharedRow) bool {
		_, removed := names[r.Name]
		m.changed = m.changed || removed
		return removed
	})
}

// revertDuplicateAddresses takes back the addresses of this change that another executor has: another node may have
// given it the address.
func (m *merger) revertDuplicateAddresses() {
	before := map[string]string{}
	for _, r := range m.before {
		before[r.Name] = r.Address
	}
	for i := m.duplicateAddress(before); i >= 0; i = m.duplicateAddress(before) {
		r := &m.rows[i]
		m.reject(r.Name, "address %s belongs to another executor", r.Address)
		if address, existed := before[r.Name]; existed {
			r.Address = address
		} else {
			m.rows = slices.Delete(m.rows, i, i+1)
		}
	}
}

// duplicateAddress returns the position of a row that got its address by this change and shares it with another row, or
// -1 if there is none. Addresses before the change are given by name; they are unique.
func (m *merger) duplicateAddress(before map[string]string) int {
	first := map[string]int{}
	for i, r := range m.rows {
		other, duplicate := first[r.Address]
		switch {
		case !duplicate:
			first[r.Address] = i
		case before[r.Name] != r.Address:
			return i
		default:
			return other
		}
	}
	return -1
}
