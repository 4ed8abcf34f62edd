#include "review/standins/Record.h"

namespace review {

Record::Record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w"))
{
}

Record::~Record()
{
    if (file_)
        std::fclose(file_);
}

void Record::line(const std::string& text)
{
    std::lock_guard lock(mutex_);
    if (!file_)
        return;
    double seconds = std::chrono::duration<double>(steadyNow() - startedAt_).count();
    std::fprintf(file_, "%9.3f %s\n", seconds, text.c_str());
    std::fflush(file_);
}

} // namespace review
