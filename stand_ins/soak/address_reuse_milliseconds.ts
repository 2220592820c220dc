/** Shortest time between the end of a backend server and the use of its address by the other service. */
export const addressReuseMilliseconds = 600;
