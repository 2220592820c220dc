/** What limits the figures of fleets. */
export const fleetNotes: readonly string[] = [
  "All processes share one machine; convergence and processor time include waiting for processors, and distances between availability zones are not simulated.",
  "A node counts the bytes of the connections that it opens. What it receives as a server is, on average over the fleet, the same again; so bytes at rest are doubled for the mean node, and for the node with the most own requests the mean is added. Bytes for a change and in a storm are of own requests.",
  "Reading the status of the nodes is a part of their processor time.",
  "The baseline node has no admission, no ledger and no peers, so its memory and processor time are a lower bound for a node that watches the platform. Its bytes are request targets and answer bodies, without HTTP heads.",
  "The document of the baseline travels whole with each change; nodes pass on the changed part and the manifest, and a restarted node pulls every part.",
];
