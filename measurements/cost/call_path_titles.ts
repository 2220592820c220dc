import { CallPath } from "./call_path.ts";

/** Titles of the call paths in tables. */
export const callPathTitles: Readonly<Record<CallPath, string>> = {
  [CallPath.Direct]: "direct (baseline)",
  [CallPath.Plain]: "plain node (baseline)",
  [CallPath.OneHop]: "one hop",
  [CallPath.TwoHops]: "two hops",
};
