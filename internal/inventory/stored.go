package inventory

import (
	"encoding/json"
	"errors"
	"net/netip"
	"strconv"

	"gatetack/internal/kv"
)

// Table and keys of the inventory in the store.
const (
	storeTable    = "config"
	storeKey      = "inventory"
	fileKeyPrefix = "inventory.file." // followed by the name of a node: the contents of its file that are merged
)

// storedInventory is the encoding of the shared inventory in the store. Its keys are stored data and must not change.
//
// A node of version 0.3.0 writes its whole file without a serial number, whatever the store has, and stamps it with the
// modification time of the file. It adopts a value whose stamp is greater than its own. The stamp has no other use.
type storedInventory struct {
	StampMs int64       `json:"at"`
	Rows    []storedRow `json:"rows"`
	Serial  uint64      `json:"serial,omitempty"`
}

// storedRow is the encoding of one executor in the store.
type storedRow struct {
	Name      string
	Address   string
	Zone      string
	Kind      string
	Group     json.Number
	Status    string
	Weight    float64
	SinceMS   float64
	ChangedIn uint64 `json:",omitempty"` // serial number of the inventory in which the row was last set
}

// errInvalidValue is returned for a value in the store that is not an inventory.
var errInvalidValue = errors.New("inventory: invalid value in the store")

// encode returns the encoding of the list in the store.
func (l sharedList) encode() ([]byte, error) {
	stored := storedInventory{StampMs: l.stampMs, Serial: l.serial, Rows: make([]storedRow, 0, len(l.rows))}
	for _, r := range l.rows {
		stored.Rows = append(stored.Rows, storedRow{Name: r.Name, Address: r.Address, Zone: r.Zone, Kind: r.Kind,
			Group: json.Number(strconv.Itoa(r.Group)), Status: r.Status, Weight: 1, ChangedIn: r.changedIn})
	}
	return json.Marshal(stored)
}

// decodeList decodes a value of the store. The serial number of a value that version 0.3.0 wrote is 0.
func decodeList(value []byte) (sharedList, error) {
	var stored storedInventory
	if err := json.Unmarshal(value, &stored); err != nil {
		return sharedList{}, errors.Join(errInvalidValue, err)
	}
	list := sharedList{serial: stored.Serial, stampMs: stored.StampMs}
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, r := range stored.Rows {
		group, err := strconv.ParseUint(r.Group.String(), 10, groupBits)
		_, addressErr := netip.ParseAddrPort(r.Address)
		if err := errors.Join(err, addressErr); err != nil {
			return sharedList{}, errors.Join(errInvalidValue, err)
		}
		if r.Name == "" || names[r.Name] || addresses[r.Address] || r.Status != statusReady && r.Status != statusDraining {
			return sharedList{}, errInvalidValue
		}
		names[r.Name], addresses[r.Address] = true, true
		list.rows = append(list.rows, sharedRow{
			row:       row{r.Name, r.Address, r.Zone, r.Kind, int(group), r.Status},
			changedIn: r.ChangedIn,
		})
	}
	return list, nil
}

// accepted is the shared inventory according to the values that were written to the store.
type accepted struct {
	sharedList
	exists  bool
	version uint64 // of the latest value, 0 if there is none
	stale   bool   // the latest value is not the accepted one and must be replaced
}

// accept returns the inventory that results from the values that the store keeps, the oldest first. All nodes accept
// the same one. A value with a serial number was written on condition that its predecessor was still the latest one.
// A value of version 0.3.0 was written without a condition and may come from a node that did not know the inventory of
// the store. It is accepted if its stamp is greater, which is the condition that such a node checks itself where it
// can.
func accept(values []*kv.Entry) accepted {
	var out accepted
	for _, value := range values {
		out.version = value.Version
		list, err := decodeList(value.Value)
		out.stale = true
		switch {
		case err != nil:
		case list.serial > 0:
			out.sharedList, out.exists, out.stale = list, true, false
		case !out.exists || list.stampMs > out.stampMs:
			out.sharedList, out.exists, out.stale = withSerial(list, out.sharedList), true, false
		}
	}
	return out
}

// withSerial numbers a list of version 0.3.0 as the successor of another list.
func withSerial(list, previous sharedList) sharedList {
	former := map[string]sharedRow{}
	for _, r := range previous.rows {
		former[r.Name] = r
	}
	list.serial = previous.serial + 1
	for i := range list.rows {
		r := &list.rows[i]
		r.changedIn = list.serial
		if old, ok := former[r.Name]; ok && old.row == r.row {
			r.changedIn = old.changedIn
		}
	}
	return list
}

// mergedFile is the contents of a node's file that are merged into the shared inventory.
type mergedFile struct {
	rows     []row
	mergedIn uint64 // serial number of the inventory with the latest change of the file, 0 if it had none
}

// storedFile is the encoding of a mergedFile in the store. Its keys are stored data and must not change.
type storedFile struct {
	MergedIn uint64     `json:"mergedIn"`
	Rows     [][]string `json:"rows"` // name, address, zone, type, group, status
}

// encode returns the encoding of the contents in the store.
func (f mergedFile) encode() ([]byte, error) {
	stored := storedFile{MergedIn: f.mergedIn, Rows: make([][]string, 0, len(f.rows))}
	for _, r := range f.rows {
		stored.Rows = append(stored.Rows, []string{r.Name, r.Address, r.Zone, r.Kind, strconv.Itoa(r.Group), r.Status})
	}
	return json.Marshal(stored)
}

// decodeFile decodes the contents of a node's file.
func decodeFile(value []byte) (mergedFile, error) {
	var stored storedFile
	if err := json.Unmarshal(value, &stored); err != nil {
		return mergedFile{}, errors.Join(errInvalidValue, err)
	}
	out := mergedFile{mergedIn: stored.MergedIn, rows: make([]row, 0, len(stored.Rows))}
	for _, fields := range stored.Rows {
		if len(fields) != len(columns) {
			return mergedFile{}, errInvalidValue
		}
		group, err := strconv.ParseUint(fields[4], 10, groupBits)
		if err != nil {
			return mergedFile{}, errors.Join(errInvalidValue, err)
		}
		out.rows = append(out.rows, row{fields[0], fields[1], fields[2], fields[3], int(group), fields[5]})
	}
	return out, nil
}
