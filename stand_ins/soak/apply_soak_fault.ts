import { match } from "ts-pattern";
import { relayModeSchema } from "../relay/relay_mode_schema.ts";
import type { StoreServer } from "../store/store_server.ts";
import { StoreFault } from "../store/store_fault.ts";
import type { SoakFault } from "./soak_fault.ts";
import { SoakFaultKind } from "./soak_fault_kind.ts";
import type { SoakVm } from "./soak_vm.ts";

const delayMilliseconds = 120;
const storeFaults = [
  StoreFault.Busy,
  StoreFault.Reset,
  StoreFault.Silent,
  StoreFault.Garbled,
];

/** Begins a fault and returns what ends it. */
export function applySoakFault(
  fault: SoakFault,
  options: {
    readonly vm: SoakVm;
    readonly store: StoreServer;
    readonly publishRules: () => void;
  },
): () => Promise<void> | void {
  const { vm, store } = options;
  const { node, backend, nodesRelay, storeRelay } = vm;
  const life = node.getLife();
  const nothing = () => undefined;
  const passAll = relayModeSchema.parse({});
  return match(fault.kind)
    .returnType<() => Promise<void> | void>()
    .with(SoakFaultKind.Kill, () => {
      node.signal("SIGCONT");
      node.signal("SIGKILL");
      return () => restart(vm, life);
    })
    .with(SoakFaultKind.Stop, () => {
      node.signal("SIGTERM");
      return () => restart(vm, life);
    })
    .with(SoakFaultKind.Pause, () => {
      node.signal("SIGSTOP");
      return () => node.signal("SIGCONT");
    })
    .with(SoakFaultKind.Reload, () => {
      node.signal("SIGHUP");
      return nothing;
    })
    .with(SoakFaultKind.ResetConnections, () => {
      nodesRelay.setMode({ ...passAll, openConnections: "reset" });
      return () => nodesRelay.setMode(passAll);
    })
    .with(SoakFaultKind.SilenceConnections, () => {
      nodesRelay.setMode({ ...passAll, openConnections: "silent" });
      return () => nodesRelay.setMode(passAll);
    })
    .with(SoakFaultKind.CutOneWay, () => {
      nodesRelay.setMode({ ...passAll, oneWay: true });
      return () => nodesRelay.setMode({ ...passAll, openConnections: "reset" });
    })
    .with(SoakFaultKind.Delay, () => {
      nodesRelay.setMode({ ...passAll, delayMilliseconds });
      return () => nodesRelay.setMode(passAll);
    })
    .with(SoakFaultKind.CrashServer, () => {
      const crashed = backend.crash();
      return () => crashed.then(() => backend.start());
    })
    .with(SoakFaultKind.GarbleServer, () => {
      backend.setGarbling(true);
      return () => backend.setGarbling(false);
    })
    .with(SoakFaultKind.DrainServer, () => {
      vm.beat("draining");
      return async () => {
        await backend.crash();
        await backend.start();
        vm.beat("ready");
      };
    })
    .with(SoakFaultKind.StoreFault, () => {
      const kind = storeFaults[fault.startsAt % storeFaults.length];
      store.setFault(kind ?? StoreFault.Busy);
      return () => store.setFault(StoreFault.None);
    })
    .with(SoakFaultKind.SilenceStore, () => {
      storeRelay.setMode({ ...passAll, openConnections: "silent" });
      return () => storeRelay.setMode(passAll);
    })
    .with(SoakFaultKind.CompactStore, () => {
      store.compact();
      return nothing;
    })
    .with(SoakFaultKind.PublishRules, () => {
      options.publishRules();
      return nothing;
    })
    .with(SoakFaultKind.TakeZoneOut, () => {
      store.put(`op/evacuate/${vm.zone}`, {});
      return () => store.remove(`op/evacuate/${vm.zone}`);
    })
    .exhaustive();
}

/** Starts a node again that was signalled in a life, unless an overlapping fault did so already. */
async function restart(vm: SoakVm, life: number): Promise<void> {
  const { node } = vm;
  if (node.getLife() !== life) return;
  await node.waitForEnd();
  if (node.getLife() === life) node.start();
}
