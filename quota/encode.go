package quota

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/quota/quotapb"
	"lovagestand.example/lovagestand/table"
)

// Encode returns the ledger as a store value. It fails with a [table.SizeError]
// if the value is larger than the store accepts.
func (l *Ledger) Encode() ([]byte, error) {
	message := &quotapb.Book{Tables: uint64(l.Tables)}
	for _, e := range l.Shards {
		message.Shards = append(message.Shards, &quotapb.Shard{
			Name: string(e.Name), Epoch: uint64(e.Epoch), Tables: uint64(e.Tables),
		})
	}
	for _, name := range slices.Sorted(maps.Keys(l.Teams)) {
		t := l.Teams[name]
		message.Teams = append(message.Teams, &quotapb.Team{
			Name: string(name), Since: uint64(t.Since),
			Shares: encodeAmounts(t.Shares), Demands: encodeAmounts(t.Demands),
		})
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	if len(data) > lovagestand.MaxValueBytes {
		return nil, &table.SizeError{Bytes: len(data)}
	}
	return data, nil
}

func encodeAmounts(amounts map[int]Amount) *quotapb.Amounts {
	message := &quotapb.Amounts{}
	for _, i := range slices.Sorted(maps.Keys(amounts)) {
		a := amounts[i]
		message.Shards = append(message.Shards, uint32(i))
		message.MilliCpu = append(message.MilliCpu, a[processors])
		message.MemoryMib = append(message.MemoryMib, a[memory])
		message.Accelerators = append(message.Accelerators, a[accelerators])
	}
	return message
}

// DecodeLedger decodes a store value. Empty data gives an empty ledger. It
// fails with a [DecodeError] if the decoded value is inconsistent.
func DecodeLedger(data []byte) (*Ledger, error) {
	message := &quotapb.Book{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, err
	}
	l := &Ledger{Tables: table.Revision(message.GetTables()), Teams: map[lovagestand.TeamName]*TeamEntry{}}
	for _, s := range message.GetShards() {
		l.Shards = append(l.Shards, ShardEntry{
			Name: lovagestand.ShardName(s.GetName()), Epoch: lovagestand.Epoch(s.GetEpoch()), Tables: table.Revision(s.GetTables()),
		})
	}
	for _, t := range message.GetTeams() {
		shares, err := l.decodeAmounts(t.GetShares())
		if err != nil {
			return nil, err
		}
		demands, err := l.decodeAmounts(t.GetDemands())
		if err != nil {
			return nil, err
		}
		l.Teams[lovagestand.TeamName(t.GetName())] = &TeamEntry{
			Since: table.Revision(t.GetSince()), Shares: shares, Demands: demands,
		}
	}
	return l, nil
}

func (l *Ledger) decodeAmounts(message *quotapb.Amounts) (map[int]Amount, error) {
	n := len(message.GetShards())
	if len(message.GetMilliCpu()) != n || len(message.GetMemoryMib()) != n || len(message.GetAccelerators()) != n {
		return nil, &DecodeError{Reason: "amount lists of unequal length"}
	}
	amounts := make(map[int]Amount, n)
	for k, i := range message.GetShards() {
		if int(i) >= len(l.Shards) {
			return nil, &DecodeError{Reason: fmt.Sprintf("shard index %d out of range", i)}
		}
		amounts[int(i)] = Amount{message.GetMilliCpu()[k], message.GetMemoryMib()[k], message.GetAccelerators()[k]}
	}
	return amounts, nil
}

// DecodeError indicates that a store value is not a consistent ledger.
type DecodeError struct {
	Reason string
}

// Error implements error.
func (e *DecodeError) Error() string {
	return "invalid quota ledger: " + e.Reason
}
