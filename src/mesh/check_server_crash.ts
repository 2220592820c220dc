import { isServerRefusingConnections } from "./is_server_refusing_connections.ts";
import type { MeshNode } from "./mesh_node.ts";
import { recordServerCrash } from "./record_server_crash.ts";

/**
 * The connections of a backend server that crashes end together; those that are
 * read this much later still belong to the same crash.
 */
const sameCrashMilliseconds = 500;

/**
 * Checks whether the backend server of this VM has crashed, after a connection
 * to it ended without an answer, and records a crash. Resolves with whether it
 * has. Calls that end at the same time share one check.
 */
export async function checkServerCrash(node: MeshNode): Promise<boolean> {
  const { serverCrash, clock } = node;
  if (clock.now() < serverCrash.recordedAt + sameCrashMilliseconds) return true;
  serverCrash.check ??= runCheck(node);
  return await serverCrash.check;
}

async function runCheck(node: MeshNode): Promise<boolean> {
  const { serverCrash, gate } = node;
  // The calls that run now leave the gate as their connections end.
  const running = Array.from(
    gate.running.values(),
    ({ getFingerprint }) => getFingerprint(),
  );
  const hasCrashed = await isServerRefusingConnections(
    node.settings.backendServer,
  );
  serverCrash.check = undefined;
  if (!hasCrashed) return false;
  serverCrash.recordedAt = node.clock.now();
  recordServerCrash(node, Array.from(new Set(running)));
  return true;
}
