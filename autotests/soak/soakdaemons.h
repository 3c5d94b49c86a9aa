#pragma once

#include "net/asio.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedslip::soak
{
/** One entry daemon, which is started again whenever it has ended, as the platform does. */
struct SoakDaemon
{
    int m_number = 0;
    std::string m_settings;
    std::string m_log;
    int m_pid = -1;
    int m_starts = 0;
    /** When it is started next, in ms of steadyMs(). */
    std::int64_t m_startMs = 0;
    /** When it is killed, if it has not ended by then; 0 if it is not being stopped. */
    std::int64_t m_killMs = 0;
    /** When it goes on after it was suspended; 0 if it runs. */
    std::int64_t m_resumeMs = 0;
    /** It was sent a signal that ends it. */
    bool m_isEnding = false;
};

/** Starts, signals and watches processes of this machine, which are ended by their ids. */
class SoakDaemons
{
public:
    SoakDaemons(std::string program, std::vector<SoakDaemon> daemons);
    ~SoakDaemons();
    SoakDaemons(const SoakDaemons &) = delete;
    SoakDaemons &operator=(const SoakDaemons &) = delete;

    /** Starts what is due, and reaps what has ended. Must be called some dozen times a second. */
    void update();
    void stop(int daemon, std::int64_t graceMs);
    void kill(int daemon);
    void suspend(int daemon, std::int64_t forMs);
    void reload(int daemon);
    /** Stops all for good. */
    void stopAll(std::int64_t graceMs);
    bool anyRuns() const;
    int starts() const;
    /** Returns the ends that no signal from here explains. */
    const std::vector<std::string> &ownEnds() const;

private:
    void start(SoakDaemon &daemon);
    void signal(SoakDaemon &daemon, int number) const;

    std::string m_program;
    std::vector<SoakDaemon> m_daemons;
    std::vector<std::string> m_ownEnds;
    bool m_isOver = false;
};
}
