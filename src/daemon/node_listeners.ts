import type { Listener } from "./listener.ts";

/** The three listeners of a node. */
export interface NodeListeners {
  readonly callers: Listener;
  readonly nodes: Listener;
  readonly operators: Listener;
}
