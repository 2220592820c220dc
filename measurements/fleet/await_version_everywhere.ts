import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { awaitVersion } from "./await_version.ts";

const timeoutMilliseconds = 60_000;

/** Resolves with the instants at which the nodes applied the version, in the order of the VMs; rejects with InvalidRunError after a timeout. */
export function awaitVersionEverywhere(
  vms: readonly DeploymentVm[],
  number: number,
): Promise<readonly number[]> {
  const deadline = Date.now() + timeoutMilliseconds;
  return Promise.all(vms.map((vm) => awaitVersion(vm, { number, deadline })));
}
