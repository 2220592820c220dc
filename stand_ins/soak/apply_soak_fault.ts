import { setTimeout as delay } from "node:timers/promises";
import { match } from "ts-pattern";
import { relayModeSchema } from "../relay/relay_mode_schema.ts";
import { StoreFault } from "../store/store_fault.ts";
import type { StoreServer } from "../store/store_server.ts";
import { crashingPath } from "./crashing_path.ts";
import type { SoakFault } from "./soak_fault.ts";
import { SoakFaultKind } from "./soak_fault_kind.ts";
import type { SoakVm } from "./soak_vm.ts";

const services = ["vitrine", "encomendas"];
const delayMilliseconds = 120;
const limitedCallsPerSecond = 5;
/** Age of the copy from which the store comes back. */
const copyAgeMilliseconds = 2_000;
/** Time until the operators write again what the store lost. */
const rewriteMilliseconds = 400;
const storeFaults = [
  StoreFault.Busy,
  StoreFault.Reset,
  StoreFault.Silent,
  StoreFault.Garbled,
];

/** Injects a fault and returns a function that ends it. */
export function applySoakFault(
  fault: SoakFault,
  options: {
    readonly vm: SoakVm;
    readonly store: StoreServer;
    /** The zones that the operators have taken out. */
    readonly zonesTakenOut: Set<string>;
    readonly publishRules: () => void;
    /** The requests that crash backend servers. */
    readonly crashingUrls: string[];
    /** Writes again what the operators have written. */
    readonly rewrite: () => void;
  },
): () => Promise<void> | void {
  const { vm, store } = options;
  const { node, backend, nodesRelay, storeRelay } = vm;
  const incarnation = node.getIncarnation();
  const doNothing = () => undefined;
  const passThrough = relayModeSchema.parse({});
  return match(fault.kind)
    .returnType<() => Promise<void> | void>()
    .with(SoakFaultKind.Kill, () => {
      node.signal("SIGCONT");
      node.signal("SIGKILL");
      return () => restart(vm, incarnation);
    })
    .with(SoakFaultKind.Stop, () => {
      node.signal("SIGTERM");
      return () => restart(vm, incarnation);
    })
    .with(SoakFaultKind.Pause, () => {
      node.signal("SIGSTOP");
      return () => node.signal("SIGCONT");
    })
    .with(SoakFaultKind.Reload, () => {
      node.signal("SIGHUP");
      return doNothing;
    })
    .with(SoakFaultKind.ResetConnections, () => {
      nodesRelay.setMode({ ...passThrough, openConnections: "reset" });
      return () => nodesRelay.setMode(passThrough);
    })
    .with(SoakFaultKind.SilenceConnections, () => {
      nodesRelay.setMode({ ...passThrough, openConnections: "silent" });
      return () => nodesRelay.setMode(passThrough);
    })
    .with(SoakFaultKind.CutOneWay, () => {
      nodesRelay.setMode({ ...passThrough, oneWay: true });
      return () =>
        nodesRelay.setMode({ ...passThrough, openConnections: "reset" });
    })
    .with(SoakFaultKind.Delay, () => {
      nodesRelay.setMode({ ...passThrough, delayMilliseconds });
      return () => nodesRelay.setMode(passThrough);
    })
    .with(SoakFaultKind.CrashServer, () => {
      const crashed = backend.crash();
      return () => crashed.then(() => backend.start());
    })
    .with(SoakFaultKind.ReuseAddress, () => {
      const otherService = services.find((name) => name !== vm.service);
      const given = backend.giveAddressTo(otherService ?? vm.service);
      return async () => {
        await given;
        await backend.crash();
        await backend.start();
      };
    })
    .with(SoakFaultKind.GarbleServer, () => {
      backend.setGarbling(true);
      return () => backend.setGarbling(false);
    })
    .with(SoakFaultKind.DrainServer, () => {
      vm.publishHeartbeat("draining");
      return async () => {
        await backend.crash();
        await backend.start();
        vm.publishHeartbeat("ready");
      };
    })
    .with(SoakFaultKind.LimitServer, () => {
      backend.setLimit(limitedCallsPerSecond);
      return () => backend.setLimit(undefined);
    })
    .with(SoakFaultKind.LeaveServer, () => {
      backend.leave();
      return async () => {
        await backend.crash();
        await backend.start();
      };
    })
    .with(SoakFaultKind.CrashingRequest, () => {
      // It comes until the end of the soak.
      options.crashingUrls.push(`${crashingPath}${fault.startsAt}`);
      return doNothing;
    })
    .with(SoakFaultKind.StoreFault, () => {
      const kind = storeFaults[fault.startsAt % storeFaults.length];
      store.setFault(kind ?? StoreFault.Busy);
      return () => store.setFault(StoreFault.None);
    })
    .with(SoakFaultKind.SilenceStore, () => {
      storeRelay.setMode({ ...passThrough, openConnections: "silent" });
      return () => storeRelay.setMode(passThrough);
    })
    .with(SoakFaultKind.CompactStore, () => {
      store.compact();
      return doNothing;
    })
    .with(SoakFaultKind.RestoreStore, () => {
      store.setFault(StoreFault.Reset);
      return async () => {
        store.restoreCopy({ ageMilliseconds: copyAgeMilliseconds });
        store.setFault(StoreFault.None);
        await delay(rewriteMilliseconds);
        options.rewrite();
      };
    })
    .with(SoakFaultKind.PublishRules, () => {
      options.publishRules();
      return doNothing;
    })
    .with(SoakFaultKind.TakeZoneOut, () => {
      store.put(`op/evacuate/${vm.zone}`, {});
      options.zonesTakenOut.add(vm.zone);
      return () => {
        options.zonesTakenOut.delete(vm.zone);
        store.remove(`op/evacuate/${vm.zone}`);
      };
    })
    .exhaustive();
}

/** Restarts a node that was signalled in the given incarnation, unless an overlapping fault has restarted it already. */
async function restart(vm: SoakVm, incarnation: number): Promise<void> {
  const { node } = vm;
  if (node.getIncarnation() !== incarnation) return;
  await node.waitForExit();
  if (node.getIncarnation() === incarnation) node.start();
}
