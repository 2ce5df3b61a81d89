package simulation

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/store"
)

// platform runs the configuration store and the machine list, each on its own
// host.
type platform struct {
	memory            *store.Memory
	store             *emulator.StoreServer
	machineList       *emulator.MachineListServer
	storeFaults       faultSettings[store.MemoryFaults]
	machineListFaults faultSettings[emulator.MachineListFaults]
}

func newPlatform(s *System) (*platform, error) {
	p := &platform{}
	p.memory = store.NewMemory(store.MemoryOptions{OnChange: func(key string, record store.Record) {
		if key == policy.StoreKey {
			s.recordAcceptedConfiguration(record.Value)
		}
	}})
	p.store = emulator.NewStoreServer(p.memory)
	p.machineList = emulator.NewMachineListServer()
	p.storeFaults.set = p.memory.SetFaults
	p.machineListFaults.set = p.machineList.SetFaults
	storeProcess, err := s.network.Start(storeIP)
	if err != nil {
		return nil, err
	}
	storeListener, err := storeProcess.Listen(address(storeIP, storePort))
	if err != nil {
		return nil, err
	}
	go func() { _ = p.store.Serve(storeListener) }()
	listProcess, err := s.network.Start(machineListIP)
	if err != nil {
		return nil, err
	}
	listListener, err := listProcess.Listen(address(machineListIP, machineListPort))
	if err != nil {
		return nil, err
	}
	go func() { _ = p.machineList.Serve(listListener) }()
	return p, nil
}

// updateMachineList adds or replaces an entry of the machine list.
func (p *platform) updateMachineList(machine machinelist.Machine) { p.machineList.Upsert(machine) }

func (p *platform) shutDown() {
	_ = p.store.Close()
	_ = p.machineList.Close()
}

// digestOf returns a digest that identifies a configuration by its content.
func digestOf(config policy.Config) string {
	data, err := json.Marshal(config)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:8])
}
