import type { SoakDisturbance } from "./soak_disturbance.ts";
import type { SoakFault } from "./soak_fault.ts";
import { SoakFaultKind } from "./soak_fault_kind.ts";

/** Faults after which a node may have forgotten, or missed, what others know. */
const disturbingKinds: ReadonlySet<SoakFaultKind> = new Set([
  SoakFaultKind.Kill,
  SoakFaultKind.Stop,
  SoakFaultKind.Pause,
  SoakFaultKind.ResetConnections,
  SoakFaultKind.SilenceConnections,
  SoakFaultKind.CutOneWay,
  SoakFaultKind.Delay,
]);
/** Time in which a node starts again, or its connections recover. */
const recoveryMilliseconds = 3_000;

/** Returns the disturbances of a soak whose traffic begins at `startedAt`, in milliseconds since the Unix epoch. */
export function listDisturbances(
  plan: readonly SoakFault[],
  { startedAt }: { readonly startedAt: number },
): readonly SoakDisturbance[] {
  return plan
    .filter(({ kind }) => disturbingKinds.has(kind))
    .map(({ vm, startsAt, endsAt }) => ({
      vm,
      from: startedAt + startsAt,
      until: startedAt + endsAt + recoveryMilliseconds,
    }));
}
