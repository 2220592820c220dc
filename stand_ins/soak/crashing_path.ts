/** Begins the path of each request that crashes the backend server that runs it. */
export const crashingPath = "/look/crash-";
