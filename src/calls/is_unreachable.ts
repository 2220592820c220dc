import type { BackendServerView } from "./backend_server_view.ts";
import { isAvoided } from "./is_avoided.ts";

/** Returns whether the node beside a backend server is avoided because contact failed. */
export function isUnreachable(view: BackendServerView, now: number): boolean {
  return view.failures > 0 && isAvoided(view, now);
}
