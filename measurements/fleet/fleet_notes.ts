/** Limitations of the fleet figures, for the result pages. */
export const fleetNotes: readonly string[] = [
  "All processes share one machine; convergence and processor time include waiting for processors, and distances between availability zones are not simulated.",
  "Control bytes are those of the connections between nodes, requests and answers in both roles, with HTTP heads and without those of TCP; a node's reads of the platform are not in them.",
  "Bytes for a change are counted until half a second after the last node has it; nodes tell their changed records within half a second for each node, so that in large fleets a part falls outside.",
  "Reading the status of the nodes is a part of their processor time.",
  "The baseline node has no admission, no ledger and no peers, so its memory and processor time are a lower bound for a node that watches the platform. Its bytes are request targets and answer bodies, without HTTP heads.",
  "The document of the baseline travels whole with each change; nodes pass on the changed part and the manifest, and a restarted node pulls every part.",
];
